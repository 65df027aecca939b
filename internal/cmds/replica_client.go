package cmds

import (
	"context"
	"errors"
	"net/netip"

	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
)

// replicaClient holds the options of a command that calls the replicas of the log as an instance does.
type replicaClient struct {
	Conf string `long:"conf" value-name:"FILE" description:"settings file of an instance; the platform's where none is named"`
}

// settings loads the settings file.
func (r *replicaClient) settings(env *Env) (conf.Settings, error) {
	file := r.Conf
	if file == "" {
		file = env.SettingsFile
	}
	if file == "" {
		return conf.Settings{}, usageError{errors.New("--conf FILE is required")}
	}
	return conf.Load(file)
}

// connect returns a client for the replicas that the settings name.
func (r *replicaClient) connect(env *Env) (*quorum.Client, error) {
	settings, err := r.settings(env)
	if err != nil {
		return nil, err
	}
	var addrs []netip.AddrPort
	for _, seed := range settings.Peers.Seeds {
		addrs = append(addrs, netip.AddrPortFrom(seed.Addr(), settings.Listen.Peers.Port()))
	}
	links := peer.NewLinks(settings.Keys.Secret, settings.Listen.Peers.Addr())
	return quorum.NewClient(links, func() []netip.AddrPort { return addrs }, nil), nil
}

// propose commits a command and returns its result.
func (r *replicaClient) propose(env *Env, cmd ctrl.Command) (ctrl.Result, error) {
	client, err := r.connect(env)
	if err != nil {
		return ctrl.Result{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return client.Propose(ctx, cmd)
}

// read reads a part of the control state.
func (r *replicaClient) read(env *Env, query quorum.Query) (quorum.QueryResult, error) {
	client, err := r.connect(env)
	if err != nil {
		return quorum.QueryResult{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return client.Read(ctx, query)
}
