//! Decisions that instances take with a shared view of the fleet.
//!
//! Each instance sees few requests, so alone it can neither tell a faulty upstream nor how busy an
//! upstream is. Instances therefore tell each other about every attempt as it starts and ends
//! ([`message`]). From these notices each of them works out, without a coordinator:
//!
//! * how many requests each upstream has in flight from the whole fleet ([`load`]),
//! * how likely each upstream is to be faulty ([`suspicion`]), leaving out what instances with
//!   bad links say ([`observers`]), and with attempts that wait for too long ([`waiting`]),
//! * how many attempts beyond the first one the fleet has made ([`budget`]),
//! * how many attempts a service gets ([`recent`]), from which follows when upstreams that were
//!   left alone are tried again ([`trial`]).
//!
//! [`placement`] and [`admission`] decide on single requests with that view. [`catalog`] keeps the
//! listed upstreams, and [`discovery`] is the border to whatever lists them. A few instances watch
//! it and [`relay`] its changes to the others.
//!
//! Nothing here performs I/O or reads a clock.

pub mod admission;
pub mod budget;
pub mod catalog;
pub mod discovery;
pub mod load;
pub mod message;
pub mod observers;
pub mod peers;
pub mod placement;
pub mod recent;
pub mod relay;
pub mod split;
pub mod suspicion;
pub mod trial;
pub mod view;
pub mod waiting;
