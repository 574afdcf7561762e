//! Loading of settings: layers, malformed input, random input.

mod fuzz;
mod layers;
mod refusal;
mod refused;
mod refused_layers;
