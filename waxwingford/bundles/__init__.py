"""Configuration bundles: model, signatures, chain, reader, publishing."""

from waxwingford.bundles._baseline import Located, fold_window, locate
from waxwingford.bundles._canonical import (
    Body,
    canonical_bytes,
    digest_of,
    make_patch,
)
from waxwingford.bundles._chain import BundleChain
from waxwingford.bundles._model import (
    MAX_BUNDLE_BYTES,
    Batch,
    BatchKind,
    Bundle,
    FailureDomain,
    MemberTerms,
    ServerSize,
    Service,
    Switches,
    TeamQuota,
)
from waxwingford.bundles._peers import (
    PeerBundle,
    PeerBundleAnswer,
    PeerBundles,
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
    FRESH_MS,
    NonceCache,
    Unverified,
    Verified,
    sign_request,
    verify_request,
)
from waxwingford.bundles._restate import RESTATE_CHANGES
from waxwingford.bundles._setup import (
    NotReady,
    ReaderSetup,
    ReaderTimes,
    Ready,
)
from waxwingford.bundles._signing import (
    public_text,
    sign_digest,
    signature_fault,
)
from waxwingford.bundles._toml import (
    BundleInvalid,
    BundleLoaded,
    body_of,
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
    'FRESH_MS',
    'MAX_BUNDLE_BYTES',
    'RESTATE_CHANGES',
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
    'Located',
    'MemberTerms',
    'NonceCache',
    'NotReady',
    'PeerBundle',
    'PeerBundleAnswer',
    'PeerBundles',
    'PeerUnavailable',
    'PublishOutcome',
    'PublishRefused',
    'PublishUnavailable',
    'PublishUnknown',
    'Published',
    'ReaderSetup',
    'ReaderTimes',
    'Ready',
    'RejectedBundle',
    'ServerSize',
    'Service',
    'Switches',
    'TeamQuota',
    'Unverified',
    'Verified',
    'body_of',
    'canonical_bytes',
    'decode_record',
    'digest_of',
    'encode_record',
    'fold_window',
    'load_bundle',
    'locate',
    'make_patch',
    'make_record',
    'public_text',
    'publish',
    'sign_digest',
    'sign_request',
    'signature_fault',
    'verify_request',
)
