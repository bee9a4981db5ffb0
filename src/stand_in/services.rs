//! The plain services of a stand-in, which count what they execute.

/// Executions by idempotency key, or by body where a call has no key.
#[derive(Debug, Default)]
pub struct Services {
    executions: Vec<(String, u32)>,
}

impl Services {
    /// Executes one call that may not be repeated, and returns how often its key was executed.
    pub fn execute(&mut self, key: &str) -> u32 {
        match self.executions.binary_search_by(|(known, _)| known.as_str().cmp(key)) {
            Ok(at) => {
                self.executions[at].1 += 1;
                self.executions[at].1
            }
            Err(at) => {
                self.executions.insert(at, (key.to_owned(), 1));
                1
            }
        }
    }

    /// How often `key` was executed.
    pub fn executions(&self, key: &str) -> u32 {
        match self.executions.binary_search_by(|(known, _)| known.as_str().cmp(key)) {
            Ok(at) => self.executions[at].1,
            Err(_) => 0,
        }
    }

    /// All keys with their counts.
    pub fn all_executions(&self) -> Vec<(String, u32)> {
        self.executions.clone()
    }
}
