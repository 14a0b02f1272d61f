"""The platform's names of headers, paths and topics."""

SETTINGS_VARIABLE = "POMELOSHIFT_CONFIG"

READY_PATH = b"/api/ready"
JOB_PATH = "/api/lots/"
ITEM_PATH = "/api/items/"

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
WAIT_MS = b"x-wait-ms"
PROMPT_PARTS = b"x-prompt-prefix"
TOKEN_COUNT = b"x-token-count"
AUTHORIZATION = b"authorization"
WORKSPACE = b"x-tenant"

EXPECT_ENGINE = b"x-expect-instance"
RESPONSE_STAMP = b"x-response-stamp"
NOT_EXECUTED = b"x-not-executed"
SERVER_LOAD = b"x-server-load"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ENGINES_TOPIC = "keyed.servers"
