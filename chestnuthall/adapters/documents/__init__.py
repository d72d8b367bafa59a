"""Models and codecs of the documents that operators and the platform store."""

from chestnuthall.adapters.documents._accounts import (
    read_account,
)
from chestnuthall.adapters.documents._burn import (
    JsonBurnCodec,
)
from chestnuthall.adapters.documents._configuration import (
    ConfigurationModel,
    encode_configuration,
    read_configuration,
)
from chestnuthall.adapters.documents._environment import (
    EnvironmentModel,
    check_environment,
    document_digest,
    read_environment,
)
from chestnuthall.adapters.documents._instances import (
    InstanceModel,
    encode_instance,
    mark_leaving,
    read_instance,
)
from chestnuthall.adapters.documents._ledger import (
    JsonPartitionCodec,
)
from chestnuthall.adapters.documents._partition_map import (
    PartitionMapModel,
    encode_partition_map,
    read_partition_map,
)
from chestnuthall.adapters.documents._probe_claims import (
    encode_probe_claim,
    read_probe_claim,
)
from chestnuthall.adapters.documents._revisions import (
    JsonRevisionCodec,
)
from chestnuthall.adapters.documents._rules import (
    CROSS_CHECKS,
)
from chestnuthall.adapters.documents._status import (
    encode_status,
)

__all__ = [
    "CROSS_CHECKS",
    "ConfigurationModel",
    "EnvironmentModel",
    "InstanceModel",
    "JsonBurnCodec",
    "JsonPartitionCodec",
    "JsonRevisionCodec",
    "PartitionMapModel",
    "check_environment",
    "document_digest",
    "encode_configuration",
    "encode_instance",
    "encode_partition_map",
    "encode_probe_claim",
    "encode_status",
    "mark_leaving",
    "read_account",
    "read_configuration",
    "read_environment",
    "read_instance",
    "read_partition_map",
    "read_probe_claim",
]
