//! Part of cactustrack; see docs/design.md.
