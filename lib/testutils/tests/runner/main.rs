//! Tests of the simulations: randomised runs and load runs with fixed seeds.

mod test_cancelled_jobs;
mod test_catalog_spread;
mod test_crashing_tasks;
mod test_dispatch_load;
mod test_dispatch_run;
mod test_fleet_cost;
mod test_random_run;
mod test_worker_variation;
