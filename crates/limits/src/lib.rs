//! Team limits over all routers: conserved shares and borrowing.
