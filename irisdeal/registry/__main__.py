"""Entry point of the registry's process: `python -m irisdeal.registry`."""

from irisdeal.runtime.signals import install_signal_handlers

if __name__ == "__main__":
    signals = install_signal_handlers()  # before the other imports, which take most of the startup time
    from irisdeal.registry.server import RegistryServer
    from irisdeal.runtime.process import run_process

    run_process(RegistryServer, signals)
