//! Listing of all keys of the store.

use super::STORE;
use super::changes::apply;
use crate::state::State;
use crate::store::{Group, Page, Record, Store, StoreError};
use crate::transfer::{Progress, Purpose};

/// All keys of the store.
#[derive(Debug)]
pub struct Listing {
    /// Their records.
    pub items: Vec<Record>,
    /// Revision from which to watch.
    pub revision: u64,
    /// Era of the store; absent if it names none.
    pub era: Option<u64>,
}

/// Lists all keys of the store, urgent ones first.
///
/// # Errors
///
/// Fails if a page cannot be had, or if the store was restored between two pages.
pub async fn list<S: Store>(state: &State, store: &mut S) -> Result<Listing, StoreError> {
    let mut listing: Option<Listing> = None;
    for group in Group::LISTED {
        let mut after = String::new();
        loop {
            let page = list_page(state, store, group, &after).await?;
            let listing = listing.get_or_insert_with(|| Listing {
                items: Vec::new(),
                revision: page.revision,
                era: page.era,
            });
            if page.era != listing.era {
                // The store was restored between two pages.
                return Err(StoreError::Compacted);
            }
            let Some(last) = page.items.last() else { break };
            after.clone_from(&last.key);
            apply_urgent::<S>(state, group, &page);
            listing.items.extend(page.items);
            if !page.has_more {
                break;
            }
        }
    }
    listing.ok_or(StoreError::Compacted)
}

/// Applies a page of urgent keys at once, while the rest of the listing may take long. Without a configuration
/// there are no requests for which they matter.
fn apply_urgent<S: Store>(state: &State, group: Group, page: &Page) {
    let is_urgent = Group::URGENT.contains(&group);
    if is_urgent && state.config().is_some() && state.eras().compare(page.era).is_eq() {
        apply::<S>(state, page.items.clone());
    }
}

async fn list_page<S: Store>(
    state: &State,
    store: &mut S,
    group: Group,
    after: &str,
) -> Result<Page, StoreError> {
    let progress = Progress::default();
    let page = store.list(group, after, &progress).await;
    let age_ms = page.is_ok().then_some(0);
    state.note_transfer(Purpose::Listing, STORE, &progress, age_ms);
    page
}
