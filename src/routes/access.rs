//! Workspaces: who may send requests, with which rank and within which quota.
//!
//! A workspace is known by its API keys, of which only digests are kept.

use std::fmt;

use subtle::ConstantTimeEq as _;

use crate::ids::TenantId;

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}

/// What the requests of a workspace are counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its tokens, prompt and output.
    Tokens {
        /// The cost of a request that states no tokens.
        default_tokens: u64,
    },
}

/// The limit of a workspace over all routers: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Quota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Units that may be spent per second in the long run.
    pub rate_per_s: f64,
    /// Units that may be spent at once beyond that.
    pub burst: f64,
}

/// A customer of the operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// Its name, which targets are told.
    pub name: TenantId,
    /// The digests of its API keys, sorted.
    pub keys: Vec<KeyDigest>,
    /// The rank of its requests, which goes before the rank of their route.
    pub rank: Option<u8>,
    /// Its quota; `None` if it is not limited.
    pub quota: Option<Quota>,
}

/// Who may send requests.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Access {
    /// All workspaces. `None` if requests carry no keys.
    pub workspaces: Option<Vec<Workspace>>,
    /// Positions of the routes in the document that need no key, sorted.
    pub anonymous_routes: Vec<u32>,
}

impl Access {
    /// Whether a request to the route at this position needs no key.
    pub fn is_anonymous(&self, route: u32) -> bool {
        self.workspaces.is_none() || self.anonymous_routes.binary_search(&route).is_ok()
    }
}

/// The API keys of all workspaces, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Sorted by digest, with the position of the workspace in [`Access::workspaces`].
    keys: Vec<(KeyDigest, u32)>,
}

impl KeyIndex {
    /// Indexes the keys of all workspaces.
    pub fn new(access: &Access) -> Self {
        let workspaces = access.workspaces.iter().flatten().enumerate();
        let mut keys: Vec<(KeyDigest, u32)> = workspaces
            .flat_map(|(at, workspace)| workspace.keys.iter().map(move |key| (*key, at as u32)))
            .collect();
        keys.sort_unstable();
        Self { keys }
    }

    /// The position of the workspace that holds a key.
    ///
    /// The search compares digests, so its time tells nothing of a key that the caller does not have; the match
    /// itself is compared in constant time.
    pub fn find(&self, key: &KeyDigest) -> Option<u32> {
        let at = self.keys.partition_point(|(known, _)| known < key);
        let (known, workspace) = self.keys.get(at)?;
        bool::from(known.0.ct_eq(&key.0)).then_some(*workspace)
    }
}
