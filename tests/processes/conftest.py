import pytest

from .fleet import ProcessFleet


@pytest.fixture
def fleet(tmp_path):
    """A platform of stand-ins; everything a test starts is ended after it."""
    fleet = ProcessFleet(tmp_path)
    try:
        fleet.start_platform()
        yield fleet
    finally:
        fleet.stop()
