//! Refusal codes.

#[cfg(test)]
mod tests;

use std::fmt::Write as _;

use http::StatusCode;
use serde::{Serialize, Serializer};

/// Retry delay for refusals that can be temporary, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No backend server ran it or will run it.
    NotRun,
    /// A backend server may have run it.
    Unknown,
    /// A backend server ran it.
    Ran,
}

impl Outcome {
    /// Returns the outcome as written in responses and logs.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Whether a retry can succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retry {
    /// A retry can succeed after [`RETRY_AFTER_MS`].
    Later,
    /// A retry cannot succeed unless the request changes.
    Never,
}

/// Handling of the caller's connection after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    /// It is closed, since further data on it cannot be parsed or is not wanted.
    Close,
    /// It stays open.
    Keep,
}

macro_rules! refusals {
    ($($name:ident $code:literal $status:ident $retry:ident $connection:ident $meaning:literal;)*) => {
        /// Reason why a request has no response from a backend server. See `docs/CALLERS.md`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Refusal {
            $(#[doc = $meaning] $name,)*
        }

        impl Refusal {
            /// All refusals.
            const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the code as written in responses and logs.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the HTTP status of the response.
            #[must_use]
            pub fn status(self) -> StatusCode {
                match self { $(Self::$name => StatusCode::$status,)* }
            }

            fn retry(self) -> Retry {
                match self { $(Self::$name => Retry::$retry,)* }
            }

            fn connection(self) -> Connection {
                match self { $(Self::$name => Connection::$connection,)* }
            }

            fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }
        }
    };
}

refusals! {
    BadRequest "bad-request" BAD_REQUEST Never Close "The request's framing is ambiguous or broken, or its target or host is not acceptable.";
    HttpVersion "http-version" HTTP_VERSION_NOT_SUPPORTED Never Close "The request is not in version 1.1 of the protocol.";
    Unsupported "unsupported" NOT_IMPLEMENTED Never Close "The request asks for a tunnel or another protocol.";
    ExpectationFailed "expectation-failed" EXPECTATION_FAILED Never Close "The request expects something other than `100-continue`.";
    RequestTimeout "request-timeout" REQUEST_TIMEOUT Never Close "The request's body arrived too slowly.";
    TooManyConnections "too-many-connections" SERVICE_UNAVAILABLE Later Close "The entry VM has as many connections as it may hold.";
    NotReady "not-ready" SERVICE_UNAVAILABLE Later Keep "No configuration has arrived yet.";
    NoRoute "no-route" NOT_FOUND Never Keep "No route matches.";
    KeyMissing "key-missing" UNAUTHORIZED Never Keep "The route needs a key and none was presented.";
    KeyAmbiguous "key-ambiguous" BAD_REQUEST Never Keep "More than one key was presented.";
    KeyMisplaced "key-misplaced" BAD_REQUEST Never Keep "The request's target shows a key in a place where it cannot be removed.";
    KeyUnknown "key-unknown" UNAUTHORIZED Never Keep "The key is not known.";
    KeyWithdrawn "key-withdrawn" UNAUTHORIZED Never Keep "The key was withdrawn.";
    KeysStale "keys-stale" SERVICE_UNAVAILABLE Later Keep "The entry VM cannot prove that it knows every withdrawal.";
    BodyTooLarge "body-too-large" PAYLOAD_TOO_LARGE Never Close "The body is larger than the route allows.";
    RateExceeded "rate-exceeded" TOO_MANY_REQUESTS Later Keep "The workspace has used up its rate and burst.";
    Quarantined "quarantined" UNPROCESSABLE_ENTITY Never Keep "The request ran on backend servers that crashed, and is not run any more.";
    NoCapacity "no-capacity" SERVICE_UNAVAILABLE Later Keep "No backend server has room, or the entry VM has none for the body.";
    Unavailable "unavailable" SERVICE_UNAVAILABLE Later Keep "Every backend server that was tried refused or could not be reached.";
    BackendFailed "backend-failed" BAD_GATEWAY Never Keep "The connection to the backend server broke while the request ran.";
    BadAnswer "bad-answer" BAD_GATEWAY Never Keep "The end of the backend server's answer is not certain.";
    OperationKeyMissing "operation-key-missing" PRECONDITION_REQUIRED Never Keep "The route needs an `idempotency-key` and none was given.";
    OperationKeyInvalid "operation-key-invalid" BAD_REQUEST Never Keep "The `idempotency-key` is empty, too long or given twice.";
    OperationUnclaimed "operation-unclaimed" SERVICE_UNAVAILABLE Later Keep "The operation could not be claimed.";
    OperationsFull "operations-full" SERVICE_UNAVAILABLE Later Keep "There is no room to remember further operations.";
    OperationRunning "operation-running" CONFLICT Later Keep "The operation is running.";
    OperationUnknown "operation-unknown" CONFLICT Never Keep "The operation may have run and will not run again.";
    OperationMismatch "operation-mismatch" CONFLICT Never Keep "The `idempotency-key` was used for another request.";
    OperationDone "operation-done" CONFLICT Never Keep "The operation has run, and its answer was too long to be kept.";
    OperationElsewhere "operation-elsewhere" TEMPORARY_REDIRECT Never Keep "Another entry VM owns the operation; `location` names it.";
    DeadlinePassed "deadline-passed" GATEWAY_TIMEOUT Never Keep "The deadline of the route passed.";
}

impl Refusal {
    /// Returns the retry delay in milliseconds, or `None` if a retry cannot succeed.
    #[must_use]
    pub fn retry_after_ms(self) -> Option<u64> {
        (self.retry() == Retry::Later).then_some(RETRY_AFTER_MS)
    }

    /// Returns whether the connection to the caller is closed.
    #[must_use]
    pub fn closes_connection(self) -> bool {
        self.connection() == Connection::Close
    }
}

impl Serialize for Refusal {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.code())
    }
}

/// Renders the table of codes for `docs/CALLERS.md`.
#[must_use]
pub fn table() -> String {
    let mut table =
        String::from("| code | status | retry | connection | meaning |\n|---|---|---|---|---|\n");
    for refusal in Refusal::ALL {
        let code = refusal.code();
        let status = refusal.status().as_u16();
        let retry = match refusal.retry() {
            Retry::Later => "later",
            Retry::Never => "",
        };
        let connection = match refusal.connection() {
            Connection::Close => "closed",
            Connection::Keep => "",
        };
        let meaning = refusal.meaning();
        let _ = writeln!(
            table,
            "| `{code}` | {status} | {retry} | {connection} | {meaning} |"
        );
    }
    table
}
