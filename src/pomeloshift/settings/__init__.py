"""Settings files, which a process reads at its start, and validation of them."""

from ._entry import EntrySettings
from ._errors import SettingsError
from ._fault import Fault, FaultCode
from ._field import port_setting, setting, url_setting
from ._load import add_lines, load_settings, parse_json, parse_settings, read_text
from ._log_level import LogLevel
from ._sidecar import EngineAddress, SidecarSettings
from ._structure import structure, structure_field

__all__ = [
    "EngineAddress",
    "EntrySettings",
    "Fault",
    "FaultCode",
    "LogLevel",
    "SettingsError",
    "SidecarSettings",
    "add_lines",
    "load_settings",
    "parse_json",
    "parse_settings",
    "port_setting",
    "read_text",
    "setting",
    "structure",
    "structure_field",
    "url_setting",
]
