//! State that lasts as long as one connection.

mod connection_table;

pub use connection_table::{
    CheckoutChoice, ConnectionNumber, ConnectionRules, ConnectionTable, RepeatSafety, ReturnChoice,
};
