//! Checks that the sum of the amounts that all holders may use never exceeds the lent pool.

mod simulation;

use std::cell::Cell;

use proptest::prelude::*;

use crate::simulation::{Simulation, drift, runner, steps};

const POOL: u64 = 1_000;

const CASES: u32 = 2_500;

/// Returns the total amount that all holders may use now.
fn in_use(simulation: &Simulation) -> u64 {
    let holders = simulation.holders.iter().enumerate();
    let lent = holders.map(|(index, process)| process.holder.lent(simulation.read(index)));
    lent.sum()
}

#[test]
fn holders_never_use_more_than_the_pool() {
    let fully_lent = Cell::new(0);
    let replaced = Cell::new(0);
    let outcome = runner(CASES).run(&(drift(), steps()), |(drift, steps)| {
        let mut simulation = Simulation::new(POOL, drift);
        let mut max_in_use = 0;
        for step in &steps {
            simulation.step(step);
            max_in_use = max_in_use.max(in_use(&simulation));
            prop_assert!(max_in_use <= POOL, "{max_in_use} in use");
        }
        replaced.set(replaced.get() + u32::from(simulation.leader().0 > 0));
        fully_lent.set(fully_lent.get() + u32::from(max_in_use == POOL));
        Ok(())
    });
    outcome.unwrap();
    assert!(replaced.get() > CASES / 4, "leaders were rarely replaced");
    assert!(
        fully_lent.get() > CASES / 10,
        "the pool was fully lent in only {} cases",
        fully_lent.get()
    );
}
