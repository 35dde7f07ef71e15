//! The current revision of the operators' configuration and the latest earlier ones.

use std::collections::VecDeque;

use text::patch;
use wire::update::{Edit, Patch, Update};
use wire::view::Config;

/// Number of earlier revisions that are kept, so that patches of them can be sent.
const MAX_EARLIER: usize = 8;

/// Revisions of the configuration that a daemon has.
#[derive(Debug, Default)]
pub struct Revisions {
    /// The newest revision; its number never decreases.
    current: Config,
    /// Earlier revisions, oldest first.
    earlier: VecDeque<Config>,
    /// Patches that were requested, all resulting in `current`.
    patches: Vec<Patch>,
    /// Whether a patch could not be applied, so that the next update must contain the full text.
    full_text_needed: bool,
}

impl Revisions {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest revision.
    #[must_use]
    pub fn current(&self) -> &Config {
        &self.current
    }

    /// Replaces the current revision by `config` if it is newer.
    pub fn advance(&mut self, config: Config) {
        if config.revision <= self.current.revision {
            return;
        }
        let before = std::mem::replace(&mut self.current, config);
        if before.revision > 0 {
            self.earlier.push_back(before);
        }
        while self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
        self.patches.clear();
        self.full_text_needed = false;
    }

    /// Returns whether the next update must contain the full text, because a patch could not be
    /// applied.
    #[must_use]
    pub fn needs_full_text(&self) -> bool {
        self.full_text_needed
    }

    /// Returns the update for a daemon that has `revision`; the full text if `full_text` is set or a
    /// patch would not be smaller.
    pub fn update_for(&mut self, revision: u64, full_text: bool) -> Option<Update> {
        if revision >= self.current.revision {
            return None;
        }
        let patch = if full_text {
            None
        } else {
            self.patch(revision)
        };
        Some(patch.map_or_else(|| Update::Full(self.current.clone()), Update::Patch))
    }

    /// Returns the revision that results from an update. Returns `None` if it is a patch that does
    /// not apply to the current revision; the next update must then contain the full text.
    pub fn restore(&mut self, update: &Update) -> Option<Config> {
        let restored = match update {
            Update::Full(config) => Some(config.clone()),
            Update::Patch(patch) => self.apply_patch(patch),
        };
        self.full_text_needed |= restored.is_none();
        restored
    }

    fn apply_patch(&self, patch: &Patch) -> Option<Config> {
        if patch.from != self.current.revision {
            return None;
        }
        let edits: Vec<patch::Edit> = patch.edits.iter().map(from_wire).collect();
        let text = patch::apply(&self.current.text, &edits)?;
        (digest(&text) == patch.digest).then_some(Config {
            revision: patch.to,
            text,
        })
    }

    fn patch(&mut self, from: u64) -> Option<Patch> {
        if let Some(known) = self.patches.iter().find(|patch| patch.from == from) {
            return Some(known.clone());
        }
        let old = self.earlier.iter().find(|old| old.revision == from)?;
        let edits = patch::between(&old.text, &self.current.text);
        let patch = Patch {
            from,
            to: self.current.revision,
            digest: digest(&self.current.text),
            edits: edits.into_iter().map(to_wire).collect::<Option<_>>()?,
        };
        if size(&patch) >= self.current.text.len() {
            return None;
        }
        self.patches.push(patch.clone());
        Some(patch)
    }
}

fn size(patch: &Patch) -> usize {
    let bytes = |edit: &Edit| match edit {
        Edit::Keep(_) | Edit::Skip(_) => size_of::<u32>(),
        Edit::Insert(text) => text.len(),
    };
    patch.edits.iter().map(bytes).sum()
}

fn to_wire(edit: patch::Edit) -> Option<Edit> {
    Some(match edit {
        patch::Edit::Keep(lines) => Edit::Keep(u32::try_from(lines).ok()?),
        patch::Edit::Skip(lines) => Edit::Skip(u32::try_from(lines).ok()?),
        patch::Edit::Insert(text) => Edit::Insert(text),
    })
}

fn from_wire(edit: &Edit) -> patch::Edit {
    match edit {
        Edit::Keep(lines) => patch::Edit::Keep(*lines as usize),
        Edit::Skip(lines) => patch::Edit::Skip(*lines as usize),
        Edit::Insert(text) => patch::Edit::Insert(text.clone()),
    }
}

fn digest(text: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
