"""Limits the number of threads that pynng starts."""

THREADS_PER_KIND = 1
_limited = False


def limit_threads() -> None:
    """Makes pynng start the fewest threads that it can work with.

    By default it starts threads in proportion to the machine's cores. The limit
    applies only if it is set before the process opens its first pynng socket.
    """
    global _limited
    if _limited:
        return
    from pynng import lib

    for name in ("TASK", "EXPIRE", "POLLER"):
        for bound in ("NUM", "MAX"):
            option = getattr(lib, f"NNG_INIT_{bound}_{name}_THREADS")
            lib.nng_init_set_parameter(option, THREADS_PER_KIND)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_RESOLVER_THREADS, THREADS_PER_KIND)
    _limited = True
