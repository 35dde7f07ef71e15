//! Faults that the platform shows on demand.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::listener::lock;

/// Whether the platform answers at all.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The platform answers.
    #[default]
    None,
    /// Each call is answered with status 503.
    Refuse,
    /// Each call's connection is closed without an answer.
    Close,
}

/// How an answer is lost after the write took effect.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// The connection is closed without an answer.
    #[default]
    Close,
    /// The answer is status 500.
    Error,
}

/// All faults at one time. The default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether the platform answers.
    pub outage: Outage,
    /// Time by which each call is delayed, in milliseconds.
    pub delay_ms: u64,
    /// Age of the VM list as read, in milliseconds.
    pub list_lag_ms: u64,
    /// How many of the next writes take effect without their answer reaching the caller.
    pub lose_answers: u64,
    /// How those answers are lost.
    pub loss: Loss,
    /// Whether plain reads show the keys as they were when this was switched on.
    pub stale_reads: bool,
}

/// A shared handle to the platform's faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    settings: Arc<Mutex<Settings>>,
}

impl Faults {
    /// The faults in force.
    #[must_use]
    pub fn get(&self) -> Settings {
        *lock(&self.settings)
    }

    /// Replaces all faults.
    pub fn set(&self, settings: Settings) {
        *lock(&self.settings) = settings;
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.set(Settings::default());
    }

    /// Sets whether the platform answers.
    pub fn set_outage(&self, outage: Outage) {
        lock(&self.settings).outage = outage;
    }

    /// Delays each call.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.settings).delay_ms = millis(delay);
    }

    /// Makes the VM list as read older.
    pub fn set_list_lag(&self, lag: Duration) {
        lock(&self.settings).list_lag_ms = millis(lag);
    }

    /// Loses the answers of the next `count` writes, which take effect.
    pub fn lose_answers(&self, count: u64, loss: Loss) {
        let mut settings = lock(&self.settings);
        settings.lose_answers = count;
        settings.loss = loss;
    }

    /// Serves plain reads from the keys as they are now, until switched off.
    pub fn set_stale_reads(&self, stale: bool) {
        lock(&self.settings).stale_reads = stale;
    }

    /// Takes one lost answer, if any is left.
    pub(crate) fn take_loss(&self) -> Option<Loss> {
        let mut settings = lock(&self.settings);
        settings.lose_answers = settings.lose_answers.checked_sub(1)?;
        Some(settings.loss)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
