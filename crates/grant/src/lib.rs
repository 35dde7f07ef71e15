//! Leased shares of a limited resource.
//!
//! The owner of a resource runs a [`Granter`], which lends amounts for a term. A [`Holder`] uses a
//! lent amount until the term expires on its own clock, which is always before the granter counts
//! the amount as free. A [`Relay`] is both: it lends parts of the share that it holds, with terms
//! that expire before its own. At every moment the sum over all holders is at most the granter's
//! total.

mod fair;
mod granter;
mod holder;
mod lead;
mod relay;
mod split;
pub mod term;
#[cfg(test)]
mod tests;

pub use granter::Granter;
pub use holder::Holder;
pub use lead::LeadTerm;
pub use relay::Relay;
pub use split::Split;
