//! The revision of the operators' text that is in force, and the latest ones before it.

use std::collections::VecDeque;

use text::patch;
use wire::update::{Edit, Patch, Update};
use wire::view::Config;

/// Earlier revisions that are kept, so that differences from them can be sent.
const EARLIER: usize = 8;

/// The revisions of the text that a daemon has.
#[derive(Debug, Default)]
pub struct Revisions {
    /// The newest; its number never falls.
    current: Config,
    /// Those before it, oldest first.
    earlier: VecDeque<Config>,
    /// Differences that were asked for, all leading to `current`.
    patches: Vec<Patch>,
    /// Whether a difference did not fit, so that the next text is wanted whole.
    whole_wanted: bool,
}

impl Revisions {
    /// Creates a record without a text.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest revision.
    #[must_use]
    pub fn current(&self) -> &Config {
        &self.current
    }

    /// Takes a revision if it is newer.
    pub fn advance(&mut self, config: Config) {
        if config.revision <= self.current.revision {
            return;
        }
        let before = std::mem::replace(&mut self.current, config);
        if before.revision > 0 {
            self.earlier.push_back(before);
        }
        while self.earlier.len() > EARLIER {
            self.earlier.pop_front();
        }
        self.patches.clear();
        self.whole_wanted = false;
    }

    /// Returns whether the next text is wanted whole, since a difference did not fit.
    #[must_use]
    pub fn wants_whole(&self) -> bool {
        self.whole_wanted
    }

    /// Returns what a daemon lacks that has `revision`; all of the text if it asks for the
    /// `whole` or the difference would not be smaller.
    pub fn update_for(&mut self, revision: u64, whole: bool) -> Option<Update> {
        if revision >= self.current.revision {
            return None;
        }
        let patch = if whole { None } else { self.patch(revision) };
        Some(patch.map_or_else(|| Update::Full(self.current.clone()), Update::Patch))
    }

    /// Returns the revision that an update leads to, or nothing if it does not fit the text that
    /// the daemon has; the next one is then wanted whole.
    pub fn restore(&mut self, update: &Update) -> Option<Config> {
        let restored = match update {
            Update::Full(config) => Some(config.clone()),
            Update::Patch(patch) => self.patched(patch),
        };
        self.whole_wanted |= restored.is_none();
        restored
    }

    fn patched(&self, patch: &Patch) -> Option<Config> {
        if patch.from != self.current.revision {
            return None;
        }
        let edits: Vec<patch::Edit> = patch.edits.iter().map(received).collect();
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
            edits: edits.into_iter().map(sent).collect::<Option<_>>()?,
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

fn sent(edit: patch::Edit) -> Option<Edit> {
    Some(match edit {
        patch::Edit::Keep(lines) => Edit::Keep(u32::try_from(lines).ok()?),
        patch::Edit::Skip(lines) => Edit::Skip(u32::try_from(lines).ok()?),
        patch::Edit::Insert(text) => Edit::Insert(text),
    })
}

fn received(edit: &Edit) -> patch::Edit {
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
