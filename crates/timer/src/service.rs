//! Clock and periodic ticks for the components of a process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::Moment;

/// Source of the current [`Moment`] and of periodic ticks. Clones share one clock.
#[derive(Debug, Clone)]
pub struct Service {
    clock: Clock,
}

#[derive(Debug, Clone)]
enum Clock {
    System(Instant),
    Manual(Arc<watch::Sender<Moment>>),
}

impl Default for Service {
    fn default() -> Self {
        Self::new()
    }
}

impl Service {
    /// Creates a service that uses the system's monotonic clock.
    #[must_use]
    pub fn new() -> Self {
        Self {
            clock: Clock::System(Instant::now()),
        }
    }

    /// Creates a service whose clock advances only when [`Service::advance`] is called.
    #[must_use]
    pub fn with_manual_clock() -> Self {
        let (sender, _) = watch::channel(Moment::default());
        Self {
            clock: Clock::Manual(Arc::new(sender)),
        }
    }

    /// Returns the current moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        match &self.clock {
            Clock::System(origin) => Moment(saturating_ms(origin.elapsed())),
            Clock::Manual(sender) => *sender.borrow(),
        }
    }

    /// Advances a manual clock; has no effect on a system clock.
    pub fn advance(&self, ms: u64) {
        if let Clock::Manual(sender) = &self.clock {
            sender.send_modify(|now| *now = now.plus_ms(ms));
        }
    }

    /// Subscribes to a tick every `period_ms` milliseconds. Ticks missed while the subscriber
    /// was busy or the process was paused are skipped and not delivered later.
    #[must_use]
    pub fn subscribe(&self, period_ms: u64) -> Ticks {
        let period_ms = period_ms.max(1);
        match &self.clock {
            Clock::System(_) => {
                let mut interval = tokio::time::interval(Duration::from_millis(period_ms));
                interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
                Ticks {
                    service: self.clone(),
                    source: Source::System(interval),
                }
            }
            Clock::Manual(sender) => Ticks {
                service: self.clone(),
                source: Source::Manual {
                    receiver: sender.subscribe(),
                    period_ms,
                    due: self.now(),
                },
            },
        }
    }
}

/// A subscription to periodic ticks; the first tick is due immediately.
#[derive(Debug)]
pub struct Ticks {
    service: Service,
    source: Source,
}

#[derive(Debug)]
enum Source {
    System(tokio::time::Interval),
    Manual {
        receiver: watch::Receiver<Moment>,
        period_ms: u64,
        due: Moment,
    },
}

impl Ticks {
    /// Waits for the next tick and returns the current moment.
    pub async fn next(&mut self) -> Moment {
        match &mut self.source {
            Source::System(interval) => {
                interval.tick().await;
            }
            Source::Manual {
                receiver,
                period_ms,
                due,
            } => {
                while *receiver.borrow_and_update() < *due {
                    if receiver.changed().await.is_err() {
                        break;
                    }
                }
                *due = self.service.now().plus_ms(*period_ms);
            }
        }
        self.service.now()
    }
}

fn saturating_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
