"""Entry point of the proxy's process: `python -m irisdeal.proxy`."""

from irisdeal.runtime.signals import install_signal_handlers

if __name__ == "__main__":
    signals = install_signal_handlers()  # before the other imports, which take most of the startup time
    from irisdeal.runtime.early_listen import listen

    listening = listen("front", "readiness")  # before the other imports, too
    from irisdeal.proxy.process import Proxy
    from irisdeal.runtime.process import run_process

    run_process(lambda settings: Proxy(settings, listening), signals)
