"""The statuses that a final response may have."""

FIRST_STATUS = 200
LAST_STATUS = 599


def is_final_status(status: int) -> bool:
    """Returns whether HTTP allows a status in a final response (RFC 9110, 15).

    is_final_status(0) is False
    """
    return FIRST_STATUS <= status <= LAST_STATUS
