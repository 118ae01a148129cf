//! Ports for tests, scenarios and benchmarks, which stay reserved while nothing listens on them.

mod port_reservation;

pub use crate::port_reservation::PortReservation;
