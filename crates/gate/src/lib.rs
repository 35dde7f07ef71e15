//! HTTP proxy between callers and backend servers.

mod admit;
mod backend;
mod caller_stream;
mod check;
pub mod code;
mod compiled;
pub mod config;
mod daemon;
mod forward;
mod framing;
mod headers;
mod limit;
mod link;
mod listener;
mod lookup;
mod measure;
pub mod metrics;
mod observe;
mod operation;
mod pool;
mod presented;
mod proxy;
mod quarantine;
mod refusal;
mod reply;
mod response_head;
mod retries;
mod select;
mod snapshot;
mod upload;
mod upstream;

pub use config::{Config, Limits};
pub use daemon::Gate;
