//! Detects requests that crash every backend server that runs them.
//!
//! A request without a recent success is sent to a single backend server, its home. All entry VMs
//! of a cell compute the same home, so copies that are sent to several entry VMs at once reach
//! the same server. After one crash, the request waits until all entry VMs can have received the
//! fact, and is then retried once on the next home in the same zone. After the second crash it is
//! quarantined. A success clears it. If facts reach all entry VMs within [`PROPAGATION_MS`], a request
//! crashes at most two servers in one zone and one in each other cell; there are at most
//! [`MAX_CELLS`] cells.

mod detector;
mod fact;
mod fingerprint;
mod home;
mod record;
#[cfg(test)]
mod tests;

pub use detector::{Detector, Fleet, Outcome, PROPAGATION_MS, Verdict};
pub use fact::{Evidence, Fact};
pub use fingerprint::Fingerprint;
pub use home::{MAX_CELLS, Server, cells};
