//! Names of the headers that carry more than HTTP itself.

/// Header names as the callers and backend servers spell them.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// Number of a caller's attempt; backend servers repeat it.
    pub attempt: &'static str,
    /// Object that a request is about.
    pub object: &'static str,
    /// Milliseconds that the caller, or the entry VM, will wait.
    pub deadline: &'static str,
    /// Workspace key.
    pub key: &'static str,
    /// Name of the workspace, set for the backend server.
    pub workspace: &'static str,
    /// Backend server that alone may run a request.
    pub target: &'static str,
    /// Marks an answer to a request that was not run.
    pub not_run: &'static str,
    /// A backend server's load: running, waiting, slots.
    pub load: &'static str,
    /// Path at which callers look up entry VMs.
    pub lookup_path: &'static str,
    /// Path at which the platform asks whether an entry VM is ready.
    pub ready_path: &'static str,
    /// Query parameter of a look-up with the caller's zone.
    pub lookup_zone: &'static str,
    /// Query parameter of a look-up with the caller's region.
    pub lookup_region: &'static str,
    /// Renders the answer to a look-up: addresses and the time to keep them in milliseconds.
    pub render_lookup: fn(&[std::net::SocketAddr], u64) -> Vec<u8>,
}
