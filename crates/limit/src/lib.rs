//! Rate and burst of workspaces over the whole fleet.
//!
//! Each VM has a [`Bucket`] per workspace over its [`Share`] of the workspace's [`Allowance`].
//! A share applies to rate and burst alike, and the shares of all VMs sum to at most the whole. A
//! bucket starts empty, and a smaller share drops the tokens above its burst, so in any window
//! all VMs together admit at most rate x window + burst.

mod allowance;
mod bucket;
mod demand;
mod share;
#[cfg(test)]
mod tests;

pub use allowance::Allowance;
pub use bucket::{Bucket, Wait};
pub use demand::Demand;
pub use share::Share;
