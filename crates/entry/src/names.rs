//! Names of headers and paths that the platform defines.

/// Names of headers, paths and query parameters as callers and backend servers use them.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// Header: the caller's identifier of an attempt, which backend servers copy into the response.
    pub attempt: &'static str,
    /// Header: object that a request is about.
    pub object: &'static str,
    /// Header: milliseconds that the caller or the entry VM waits for the response.
    pub deadline: &'static str,
    /// Header: workspace key.
    pub key: &'static str,
    /// Header: name of the workspace, set for the backend server.
    pub workspace: &'static str,
    /// Header: the only backend server that may run the request.
    pub target: &'static str,
    /// Header: marks the response to a request that was not run.
    pub not_run: &'static str,
    /// Header: load of a backend server: requests running, requests waiting, slots, and how long
    /// work takes on its machine now, in percent of the usual time.
    pub load: &'static str,
    /// Header: whether a backend server leaves, `1` if so.
    pub leaving: &'static str,
    /// Header: requests a second that a backend server takes from all entry VMs together.
    pub limit: &'static str,
    /// Path of lookups of entry VMs.
    pub lookup_path: &'static str,
    /// Path at which the platform checks whether an entry VM is ready.
    pub ready_path: &'static str,
    /// Query parameter of a lookup: the caller's zone.
    pub lookup_zone: &'static str,
    /// Query parameter of a lookup: the caller's region.
    pub lookup_region: &'static str,
    /// Renders the response to a lookup from the addresses and the time to cache them in
    /// milliseconds.
    pub render_lookup: fn(&[std::net::SocketAddr], u64) -> Vec<u8>,
}
