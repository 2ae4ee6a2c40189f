//! The memory of a `samphirespread-gateway` process under input of others that is large, many or without
//! end.

mod entries;
mod process;
mod streams;
