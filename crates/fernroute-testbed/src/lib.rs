//! A testbed for fernroute: fleets of real balancers in virtual time, a referee that checks the rules against the recorded
//! events, baseline policies for comparison, and experiments over scenarios, variants and seeds.

pub mod beside;
pub mod charts;
pub mod demand;
pub mod experiment;
mod fleet;
pub mod live;
pub mod measure;
pub mod metrics;
pub mod policy;
pub mod processes;
pub mod referee;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod simulation;
pub mod trace;
mod upstream;
