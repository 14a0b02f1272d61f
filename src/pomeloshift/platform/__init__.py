"""Names, formats and calls of the users' platform, without any decisions."""

from ._address import MAX_PORT, is_ip_address
from ._caller_request import (
    CallerRequest,
    ItemRead,
    JobEnd,
    JobRead,
    read_batch_call,
    read_caller_request,
    request_id_of,
)
from ._configuration import decode_config
from ._deploy_file import check_deploy_file
from ._engine_request import (
    is_stamped,
    item_request,
    proves_not_run,
    report_request,
    to_engine,
    without_caller_fields,
)
from ._engines import (
    decode_engine,
    decode_limit_header,
    decode_load_header,
    decode_report,
    says_leaving,
)
from ._errors import (
    UNREADABLE,
    HistoryLostError,
    MalformedError,
    SequenceError,
    StoreFullError,
    StoreNoResponseError,
    StoreRejectedError,
    StoreUnreachableError,
)
from ._job_bodies import decode_items, decoding_cost, encode_results
from ._names import CONFIG_KEY, CONFIG_TOPIC, ENGINES_TOPIC, READY_PATH
from ._prompt_parts import item_parts, shared_parts
from ._settings import (
    CallerMemorySettings,
    PlatformSettings,
    StoreSettings,
    load_platform_settings,
    parse_platform_settings,
)
from ._store import CALL_TIMEOUT_S, KeyedRecord, NewestPage, Page, StoreClient
from ._toml import parse_toml

__all__ = [
    "CALL_TIMEOUT_S",
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "ENGINES_TOPIC",
    "MAX_PORT",
    "READY_PATH",
    "UNREADABLE",
    "CallerMemorySettings",
    "CallerRequest",
    "HistoryLostError",
    "ItemRead",
    "JobEnd",
    "JobRead",
    "KeyedRecord",
    "MalformedError",
    "NewestPage",
    "Page",
    "PlatformSettings",
    "SequenceError",
    "StoreClient",
    "StoreFullError",
    "StoreNoResponseError",
    "StoreRejectedError",
    "StoreSettings",
    "StoreUnreachableError",
    "check_deploy_file",
    "decode_config",
    "decode_engine",
    "decode_items",
    "decoding_cost",
    "decode_limit_header",
    "decode_load_header",
    "decode_report",
    "encode_results",
    "is_ip_address",
    "is_stamped",
    "item_parts",
    "item_request",
    "load_platform_settings",
    "parse_platform_settings",
    "parse_toml",
    "proves_not_run",
    "read_batch_call",
    "read_caller_request",
    "request_id_of",
    "report_request",
    "says_leaving",
    "shared_parts",
    "to_engine",
    "without_caller_fields",
]
