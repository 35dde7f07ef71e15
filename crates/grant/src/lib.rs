//! Leased shares of a limited resource.
//!
//! The owner of a resource runs a [`Lender`], which lends amounts for a term. A [`Holder`] uses a
//! lent amount until the term expires on its own clock, which is always before the lender counts
//! the amount as free. A [`Relay`] is both: it lends parts of the share that it holds, with terms
//! that expire before its own. At every moment the sum over all holders is at most the lender's
//! total.

mod fair;
mod holder;
mod leader;
mod lender;
mod relay;
mod split;
pub mod term;
#[cfg(test)]
mod tests;

pub use holder::Holder;
pub use leader::LeaderTerm;
pub use lender::Lender;
pub use relay::Relay;
pub use split::Split;
