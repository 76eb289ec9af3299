//! State that lasts as long as one connection.

mod connection_book;

pub use connection_book::{
    CheckoutChoice, ConnectionBook, ConnectionRules, LinkNumber, ReturnChoice, WorkSafety,
};
