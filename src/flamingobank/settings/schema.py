"""Define the sections and keys of a node's settings."""

from flamingobank.objects import OBJECT_NAME
from flamingobank.schema import (
    AddressValue,
    Field,
    FieldTable,
    FilePath,
    Integer,
    ListOf,
    SectionSchema,
)

MAX_BYTES = 1_073_741_824
MAX_COUNT = 1_000_000
MAX_DURATION_MS = 86_400_000

_NODE = SectionSchema(
    "node",
    "Names the node, its failure domain and its region.",
    FieldTable(
        Field(
            "id",
            "node_id",
            OBJECT_NAME,
            "Name of the node, unique in the fleet.",
            "id = graz-a-1",
        ),
        Field(
            "failure_domain",
            "failure_domain",
            OBJECT_NAME,
            "Zone that can fail as a whole, such as a rack room.",
            "failure_domain = graz-a",
        ),
        Field(
            "region",
            "region",
            OBJECT_NAME,
            "Region that the failure domain belongs to.",
            "region = steiermark",
        ),
    ),
)

_LISTEN = SectionSchema(
    "listen",
    "Sets the addresses that the node listens on; it listens on no others.",
    FieldTable(
        Field(
            "callers",
            "callers",
            AddressValue(any_interface=True, any_port=True),
            "Address for callers' HTTP requests.",
            "callers = 10.1.0.4:8080",
        ),
        Field(
            "peers",
            "peers",
            AddressValue(any_port=True),
            "TCP and UDP address for other nodes, which the node announces to them.",
            "peers = 10.1.0.4:7100",
        ),
        Field(
            "servers",
            "servers",
            AddressValue(any_port=True),
            "Address for servers' announcements; servers are redirected to it.",
            "servers = 10.1.0.4:7200",
        ),
        Field(
            "operators",
            "operators",
            AddressValue(any_port=True),
            "Address for status, metrics and drain commands.",
            "operators = 127.0.0.1:7300",
        ),
    ),
)

_PEERS = SectionSchema(
    "peers",
    "Lists nodes through which this node joins the fleet.",
    FieldTable(
        Field(
            "seeds",
            "seeds",
            ListOf(AddressValue()),
            "Peer addresses to join through; if empty, the node starts a fleet of one.",
            "seeds = 10.1.0.4:7100, 10.2.0.4:7100",
            default="",
        ),
    ),
)

_STORE = SectionSchema(
    "store",
    "Gives access to the platform's object API.",
    FieldTable(
        Field(
            "address",
            "store",
            AddressValue(),
            "Address of the store; if empty, the node gets no configuration changes.",
            "address = 10.9.0.1:8400",
            default="",
        ),
        Field(
            "token_file",
            "store_token_file",
            FilePath(),
            "File with the bearer token of the store.",
            "token_file = secrets/store-token",
            default="",
        ),
    ),
)

_SECRETS = SectionSchema(
    "secrets",
    "Names files with secrets; settings never contain secrets.",
    FieldTable(
        Field(
            "fleet_file",
            "fleet_secret_file",
            FilePath(),
            "File with the fleet secret; it has two lines during a rotation.",
            "fleet_file = secrets/fleet",
            default="",
        ),
    ),
)

_LIMITS = SectionSchema(
    "limits",
    "Limits the resources that callers can use.",
    FieldTable(
        Field(
            "max_connections",
            "max_connections",
            Integer(1, MAX_COUNT),
            "Maximum number of open connections from callers.",
            "max_connections = 2000",
            default="2000",
        ),
        Field(
            "max_head_bytes",
            "max_head_bytes",
            Integer(256, MAX_BYTES, "bytes"),
            "Maximum size of a request's line and headers.",
            "max_head_bytes = 16384",
            default="16384",
        ),
        Field(
            "max_body_bytes",
            "max_body_bytes",
            Integer(0, MAX_BYTES, "bytes"),
            "Maximum size of a request's body.",
            "max_body_bytes = 1048576",
            default="1048576",
        ),
        Field(
            "max_streams_per_caller",
            "max_streams_per_caller",
            Integer(1, MAX_COUNT),
            "Maximum number of requests in flight from one caller address.",
            "max_streams_per_caller = 256",
            default="256",
        ),
        Field(
            "request_timeout_ms",
            "request_timeout_ms",
            Integer(1, MAX_DURATION_MS, "milliseconds"),
            "Time within which a caller must send its whole request.",
            "request_timeout_ms = 10000",
            default="10000",
        ),
        Field(
            "idle_timeout_ms",
            "idle_timeout_ms",
            Integer(1, MAX_DURATION_MS, "milliseconds"),
            "Time after which an idle connection is closed.",
            "idle_timeout_ms = 75000",
            default="75000",
        ),
    ),
)

_SHUTDOWN = SectionSchema(
    "shutdown",
    "Limits the duration of a graceful shutdown.",
    FieldTable(
        Field(
            "deadline_ms",
            "shutdown_deadline_ms",
            Integer(0, MAX_DURATION_MS, "milliseconds"),
            "Time for requests in flight to finish after the stop signal.",
            "deadline_ms = 30000",
            default="30000",
        ),
    ),
)

SETTINGS_SECTIONS: tuple[SectionSchema, ...] = (
    _NODE,
    _LISTEN,
    _PEERS,
    _STORE,
    _SECRETS,
    _LIMITS,
    _SHUTDOWN,
)
