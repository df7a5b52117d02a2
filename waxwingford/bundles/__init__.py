"""Configuration bundles: model, signatures, chain, reader, publishing."""

from waxwingford.bundles._baseline import (
    RecoveredChain,
    fold_window,
    recover_chain,
)
from waxwingford.bundles._canonical import (
    Body,
    canonical_bytes,
    compute_digest,
    make_merge_patch,
)
from waxwingford.bundles._chain import BundleChain
from waxwingford.bundles._model import (
    MAX_BUNDLE_BYTES,
    Batch,
    BatchKind,
    Bundle,
    FailureDomain,
    FeatureSwitches,
    MemberEntitlement,
    ResourceAmounts,
    Service,
    TeamQuota,
)
from waxwingford.bundles._peers import (
    PeerBundle,
    PeerBundleAnswer,
    PeerBundleClient,
    PeerUnavailable,
)
from waxwingford.bundles._publish import (
    Published,
    PublishOutcome,
    PublishRefused,
    PublishUnavailable,
    PublishUnknown,
    make_record,
    publish,
)
from waxwingford.bundles._reader import BundleReader
from waxwingford.bundles._record import (
    CONFIG_STREAM,
    BundleRecord,
    RejectedBundle,
    decode_record,
    encode_record,
)
from waxwingford.bundles._requests import (
    MAX_CLOCK_SKEW_MS,
    NonceCache,
    Unverified,
    Verified,
    sign_request,
    verify_request,
)
from waxwingford.bundles._restate import MAX_CHANGES_BETWEEN_RESTATEMENTS
from waxwingford.bundles._setup import (
    NotReady,
    ReaderDependencies,
    ReaderTiming,
    Ready,
)
from waxwingford.bundles._signing import (
    encode_public_key,
    sign_digest,
    signature_fault,
)
from waxwingford.bundles._toml import (
    BundleInvalid,
    BundleLoaded,
    bundle_body,
    load_bundle,
)
from waxwingford.bundles._verdicts import (
    AlreadyInForce,
    BundleInForce,
    FromBaseline,
    FromLog,
    FromPeer,
    InForce,
)

__all__ = (
    'CONFIG_STREAM',
    'MAX_CLOCK_SKEW_MS',
    'MAX_BUNDLE_BYTES',
    'MAX_CHANGES_BETWEEN_RESTATEMENTS',
    'AlreadyInForce',
    'Batch',
    'BatchKind',
    'Body',
    'Bundle',
    'BundleChain',
    'BundleInForce',
    'BundleInvalid',
    'BundleLoaded',
    'BundleReader',
    'BundleRecord',
    'FailureDomain',
    'FromBaseline',
    'FromLog',
    'FromPeer',
    'InForce',
    'RecoveredChain',
    'MemberEntitlement',
    'NonceCache',
    'NotReady',
    'PeerBundle',
    'PeerBundleAnswer',
    'PeerBundleClient',
    'PeerUnavailable',
    'PublishOutcome',
    'PublishRefused',
    'PublishUnavailable',
    'PublishUnknown',
    'Published',
    'ReaderDependencies',
    'ReaderTiming',
    'Ready',
    'RejectedBundle',
    'ResourceAmounts',
    'Service',
    'FeatureSwitches',
    'TeamQuota',
    'Unverified',
    'Verified',
    'bundle_body',
    'canonical_bytes',
    'decode_record',
    'compute_digest',
    'encode_record',
    'fold_window',
    'load_bundle',
    'recover_chain',
    'make_merge_patch',
    'make_record',
    'encode_public_key',
    'publish',
    'sign_digest',
    'sign_request',
    'signature_fault',
    'verify_request',
)
