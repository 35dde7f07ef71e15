//! Batches of log lines that are passed to the logging library in one call.

/// Maximum size of a batch, in bytes: a pipe accepts a write of this size atomically, so that a
/// reader gets complete lines.
pub const BYTES: usize = 4 << 10;

/// Lines that were not written yet. They fit in [`BYTES`], or the batch is one longer line.
#[derive(Debug, Default)]
pub struct Batch(String);

impl Batch {
    /// Adds a line; returns the lines before it if both do not fit in one batch.
    #[must_use]
    pub fn push(&mut self, line: &str) -> Option<String> {
        let joined_len = self.0.len() + 1 + line.len() + 1;
        let full = (joined_len > BYTES).then(|| self.take()).flatten();
        if !self.0.is_empty() {
            self.0.push('\n');
        }
        self.0.push_str(line);
        full
    }

    /// Takes the collected lines; returns `None` if there are none.
    #[must_use]
    pub fn take(&mut self) -> Option<String> {
        (!self.0.is_empty()).then(|| std::mem::take(&mut self.0))
    }
}
