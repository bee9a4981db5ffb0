//! Bearer tokens, kept as hashes, and the secrets that a daemon itself must send.
//!
//! Nothing in this module prints a token, a key or a hash.

use std::fmt;

use hmac::digest::Digest as _;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use crate::ids::{OperatorName, TenantId};

/// Bytes of a SHA-256 hash.
const HASH_BYTES: usize = 32;
/// Random bytes in a new token.
const TOKEN_BYTES: usize = 24;

/// The SHA-256 hash of a bearer token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hash([u8; HASH_BYTES]);

impl Hash {
    /// The hash of `token`.
    pub fn of(token: &str) -> Self {
        Self(sha2::Sha256::digest(token.as_bytes()).into())
    }

    /// Reads 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        hex_bytes(text).map(Self)
    }

    /// The 64 hexadecimal digits that a settings file holds.
    pub fn to_hex(self) -> String {
        hex(&self.0)
    }

    fn matches(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hash(hidden)")
    }
}

/// A bearer token that a daemon sends.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a token.
    pub fn new(token: String) -> Self {
        Self(token)
    }

    /// A new random token, and the hash that settings files hold.
    pub fn generate(rng: &mut impl rand::Rng) -> (Self, Hash) {
        let mut bytes = [0; TOKEN_BYTES];
        rng.fill(&mut bytes);
        let token = hex(&bytes);
        let hash = Hash::of(&token);
        (Self(token), hash)
    }

    /// The token in clear, for the header it is sent in.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// The key that the daemons of a cluster share.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ClusterKey([u8; HASH_BYTES]);

impl ClusterKey {
    /// Wraps a key.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Reads 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        hex_bytes(text).map(Self)
    }

    /// The key in clear, to sign and check messages with.
    pub fn reveal(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(hidden)")
    }
}

/// Who may do what, by the hash of their token. An owner may have several tokens.
#[derive(Clone, Default)]
pub struct Tokens {
    tenants: Vec<(Hash, TenantId)>,
    operators: Vec<(Hash, OperatorName)>,
    targets: Vec<Hash>,
}

impl Tokens {
    /// Adds a token of a tenant.
    pub fn add_tenant(&mut self, tenant: TenantId, hash: Hash) {
        self.tenants.push((hash, tenant));
    }

    /// Adds a token of an operator.
    pub fn add_operator(&mut self, operator: OperatorName, hash: Hash) {
        self.operators.push((hash, operator));
    }

    /// Adds a token that targets may announce themselves with.
    pub fn add_target(&mut self, hash: Hash) {
        self.targets.push(hash);
    }

    /// The tenant of a caller's token.
    pub fn tenant(&self, token: &str) -> Option<&TenantId> {
        owner(&self.tenants, token)
    }

    /// The operator of a token.
    pub fn operator(&self, token: &str) -> Option<&OperatorName> {
        owner(&self.operators, token)
    }

    /// Whether a target may announce itself with this token.
    pub fn is_target(&self, token: &str) -> bool {
        let hash = Hash::of(token);
        let found = self.targets.iter().fold(Choice::from(0), |found, h| found | h.matches(&hash));
        found.into()
    }

    /// All tenants that have a token, sorted.
    pub fn tenants(&self) -> Vec<TenantId> {
        let mut tenants: Vec<TenantId> = self.tenants.iter().map(|(_, t)| t.clone()).collect();
        tenants.sort_unstable();
        tenants.dedup();
        tenants
    }
}

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Tokens(hidden)")
    }
}

/// Compares with every hash, so that the time taken does not tell which one matched.
fn owner<'a, T>(owners: &'a [(Hash, T)], token: &str) -> Option<&'a T> {
    let hash = Hash::of(token);
    let mut found = u32::MAX;
    for (place, (candidate, _)) in owners.iter().enumerate() {
        found.conditional_assign(&(place as u32), candidate.matches(&hash));
    }
    owners.get(found as usize).map(|(_, owner)| owner)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn hex_bytes(text: &str) -> Option<[u8; HASH_BYTES]> {
    if text.len() != 2 * HASH_BYTES || !text.bytes().all(|c| c.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; HASH_BYTES];
    for (at, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_token_finds_its_owner_and_no_other() {
        let mut tokens = Tokens::default();
        tokens.add_tenant("desk".parse().unwrap(), Hash::of("a"));
        tokens.add_tenant("adopters".parse().unwrap(), Hash::of("b"));
        tokens.add_operator("maria".parse().unwrap(), Hash::of("c"));
        tokens.add_target(Hash::of("d"));
        assert_eq!(tokens.tenant("b").unwrap().as_str(), "adopters");
        assert_eq!(tokens.operator("c").unwrap().as_str(), "maria");
        assert!(tokens.is_target("d"));
        for other in ["", "c", "d", "aa"] {
            assert!(tokens.tenant(other).is_none(), "{other:?} was taken for a tenant's token");
        }
        assert!(tokens.operator("a").is_none() && !tokens.is_target("a"));
    }

    #[test]
    fn nothing_prints_a_secret() {
        let (secret, hash) = Secret::generate(&mut rand::rng());
        let mut tokens = Tokens::default();
        tokens.add_target(hash);
        let printed = format!("{secret:?} {hash:?} {tokens:?} {:?}", ClusterKey::new([7; 32]));
        assert!(!printed.contains(secret.reveal()) && !printed.contains(&hash.to_hex()));
        assert!(!printed.contains("07") && !printed.contains('7'), "{printed}");
    }
}
