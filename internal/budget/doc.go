// Package budget bounds the memory that an instance holds for its clients: request bodies that arrive, those of running requests, and
// buffered answers. Beyond the bound, the unfinished body with the least progress is given up.
package budget
