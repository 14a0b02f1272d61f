"""Limits the threads that pynng starts."""

THREADS_OF_EACH_KIND = 1
_limited = False


def limit_threads() -> None:
    """Lets pynng start the fewest threads it can do with.

    Without this it starts threads in proportion to the machine's cores. It takes
    effect only before the process opens its first socket.
    """
    global _limited
    if _limited:
        return
    from pynng import lib

    for name in ("TASK", "EXPIRE", "POLLER"):
        for bound in ("NUM", "MAX"):
            option = getattr(lib, f"NNG_INIT_{bound}_{name}_THREADS")
            lib.nng_init_set_parameter(option, THREADS_OF_EACH_KIND)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_RESOLVER_THREADS, THREADS_OF_EACH_KIND)
    _limited = True
