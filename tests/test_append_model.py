"""Writers whose calls are lost, delayed and refused, in virtual time."""

from hypothesis import settings

from _append_machine import AppendMachine

TestAppends = AppendMachine.TestCase
TestAppends.settings = settings(max_examples=150, stateful_step_count=25)
