//! What is loaded where: replicas, loads, memory and orders.
