import pytest

from .fleet import ProcessFleet


@pytest.fixture
def fleet(tmp_path):
    """Stand-ins of the platform; all processes are killed after the test."""
    fleet = ProcessFleet(tmp_path)
    try:
        fleet.start_platform()
        yield fleet
    finally:
        fleet.stop()
