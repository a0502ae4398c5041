//! Tests with separate processes of the fleet.
