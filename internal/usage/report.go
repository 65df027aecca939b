package usage

// Report is the usage of one window.
type Report struct {
	// Window is the number of the window: it begins Window times the length of a window after the start of 1970.
	Window int64 `json:"w"`
	// Counts holds the number of requests that endpoints began in the window, by organisation.
	Counts map[string]int `json:"c"`
}
