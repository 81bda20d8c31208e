"""Entry point of the process of one replica of the configuration store: `python -m irisdeal.config_store`."""

from irisdeal.runtime.signals import install_signal_handlers

if __name__ == "__main__":
    signals = install_signal_handlers()  # before the other imports, which take most of the startup time
    from irisdeal.config_store.replica import StoreReplica
    from irisdeal.runtime.process import run_process

    run_process(StoreReplica, signals)
