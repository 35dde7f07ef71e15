//! Leases: platform sessions and the keys locked by them.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::client::{Client, StoreError, entry_of, malformed};

/// A session. Keys locked by it are unlocked when it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session(String);

/// Outcome of a session renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewed {
    /// A new term has started.
    Done,
    /// The session had ended already.
    Ended,
}

/// Outcome of an attempt to lock a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquired {
    /// The session holds the key.
    Done,
    /// Another session holds the key, or this session has ended.
    Held,
}

/// State of a lock in the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lock<T> {
    /// Value written by the last holder.
    pub value: Option<T>,
    /// Session of the holder; `None` if no session holds the key.
    pub session: Option<Session>,
    /// Number of times that the key was locked; grows with each new holder.
    pub epoch: u64,
}

#[derive(Debug, Serialize)]
struct SessionRequest<'a> {
    #[serde(rename = "Name")]
    name: &'a str,
    #[serde(rename = "TTL")]
    ttl: String,
    #[serde(rename = "LockDelay")]
    lock_delay: &'static str,
    #[serde(rename = "Behavior")]
    behavior: &'static str,
}

#[derive(Debug, Deserialize)]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

impl Client {
    /// Creates a session that ends `term_ms` milliseconds after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond. A session may have been created nevertheless; it
    /// expires after its term.
    pub fn create_session(&self, name: &str, term_ms: u64) -> Result<Session, StoreError> {
        let request = SessionRequest {
            name,
            ttl: format!("{term_ms}ms"),
            lock_delay: "0s",
            behavior: "release",
        };
        let body = serde_json::to_vec(&request).map_err(malformed)?;
        let response = self.put("/v1/session/create", &body)?;
        let created: CreatedSession =
            serde_json::from_str(response.ok_body()?).map_err(malformed)?;
        Ok(Session(created.id))
    }

    /// Renews a session: a new term starts.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond; a new term may have started nevertheless.
    pub fn renew_session(&self, session: &Session) -> Result<Renewed, StoreError> {
        let response = self.put(&format!("/v1/session/renew/{}", session.0), &[])?;
        if response.status == 404 {
            return Ok(Renewed::Ended);
        }
        response.ok_body()?;
        Ok(Renewed::Done)
    }

    /// Ends a session. Idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond.
    pub fn end_session(&self, session: &Session) -> Result<(), StoreError> {
        let response = self.put(&format!("/v1/session/destroy/{}", session.0), &[])?;
        response.ok_body()?;
        Ok(())
    }

    /// Locks `key` for `session` and writes `value` if no other session holds the key. Locking a
    /// key that the session already holds only writes the value again.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond; the key may have been locked nevertheless.
    pub fn acquire<T: Serialize>(
        &self,
        key: &str,
        session: &Session,
        value: &T,
    ) -> Result<Acquired, StoreError> {
        let body = serde_json::to_vec(value).map_err(malformed)?;
        let response = self.put(&format!("/v1/kv/{key}?acquire={}", session.0), &body)?;
        if response.status == 500 && response.body.contains("session") {
            return Ok(Acquired::Held);
        }
        match response.ok_body()?.trim() {
            "true" => Ok(Acquired::Done),
            _ => Ok(Acquired::Held),
        }
    }

    /// Reads a lock. Uses a blocking query that returns immediately, since a plain read may return
    /// stale state.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond or its response is malformed. A value that cannot be
    /// decoded is returned as `None`.
    pub fn lock<T: DeserializeOwned>(&self, key: &str) -> Result<Lock<T>, StoreError> {
        let response = self.get(&format!("/v1/kv/{key}?index=1&wait=10ms"), 10)?;
        let Some(entry) = entry_of(&response)? else {
            return Ok(Lock {
                value: None,
                session: None,
                epoch: 0,
            });
        };
        Ok(Lock {
            value: entry.decode().ok(),
            epoch: entry.lock_index,
            session: entry.session.map(Session),
        })
    }
}
