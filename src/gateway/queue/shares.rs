//! Tokens that workspaces were served recently.

use crate::ids::TenantId;

/// Time in which the weight of served tokens falls to a third.
const MEMORY_MS: f64 = 8_000.0;
/// Workspaces whose served tokens differ by less than this are treated as equal, so that among them the
/// request goes first that has to begin first. One or two requests have this size.
const QUANTUM_TOKENS: f64 = 2_000.0;

#[derive(Clone, Debug)]
struct Share {
    workspace: TenantId,
    tokens: f64,
    counted_ms: u64,
}

impl Share {
    fn tokens_at(&self, now_ms: u64) -> f64 {
        self.tokens * (-(now_ms.saturating_sub(self.counted_ms) as f64) / MEMORY_MS).exp()
    }
}

/// Tokens served recently, by workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    /// Sorted by workspace.
    shares: Vec<Share>,
}

impl Shares {
    /// Adds the tokens of a request that is served.
    pub(super) fn record(&mut self, now_ms: u64, workspace: Option<&TenantId>, tokens: u64) {
        let Some(workspace) = workspace else { return };
        let at = match self.position(workspace) {
            Ok(at) => at,
            Err(at) => {
                let workspace = workspace.clone();
                self.shares.insert(at, Share { workspace, tokens: 0.0, counted_ms: now_ms });
                at
            }
        };
        let share = &mut self.shares[at];
        (share.tokens, share.counted_ms) = (share.tokens_at(now_ms) + tokens as f64, now_ms);
    }

    /// What a workspace was served recently, in quanta.
    pub(super) fn quanta(&self, now_ms: u64, workspace: Option<&TenantId>) -> u64 {
        let found = workspace.and_then(|workspace| self.position(workspace).ok());
        found.map_or(0, |at| (self.shares[at].tokens_at(now_ms) / QUANTUM_TOKENS) as u64)
    }

    fn position(&self, workspace: &TenantId) -> Result<usize, usize> {
        self.shares.binary_search_by(|share| share.workspace.cmp(workspace))
    }
}
