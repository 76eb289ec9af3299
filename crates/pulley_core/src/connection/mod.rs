//! State that lasts as long as one connection.

mod connection_table;
mod upstream_path;

pub use connection_table::{
    CheckoutChoice, ConnectionNumber, ConnectionRules, ConnectionTable, RepeatSafety, ReturnChoice,
};
pub use upstream_path::{PathCheck, PathSurvey, UpstreamPath, UpstreamRoute};
