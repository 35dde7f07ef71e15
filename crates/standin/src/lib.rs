//! Stand-ins for the platform's services and for backend servers.
//!
//! Both speak HTTP/1.1 through `rouille`. Callers reach them through a [`listener::Listener`],
//! which relays bytes and can break connections on purpose, so that faults below HTTP (a cut
//! network, a crashed process, an answer that never arrives) can be produced too.

pub mod backend;
pub mod history;
pub mod listener;
pub mod memory;
pub mod platform;
pub mod raw;
mod server;
pub mod users;
