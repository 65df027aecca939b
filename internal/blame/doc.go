// Package blame decides which parts of prompts crash endpoints, from what all instances report: the requests without an answer
// under which endpoints went down, and the parts on which an answer went on.
package blame
