package mgtable

// The names of the kinds of rows.
const (
	accountRow  = "account"
	serviceRow  = "service"
	modelRow    = "model"
	upstreamRow = "upstream"
	routeRow    = "route"
)

var accountColumns = []column[Account]{
	nameColumn("name", func(a *Account) *string { return &a.name }),
	digestsColumn("keys", func(a *Account) *[]Digest { return &a.keys }),
	numberColumn("weight", 0, maxWeight, true, func(a *Account) *float64 { return &a.weight }),
	numberColumn("rate", 0, maxRate, false, func(a *Account) *float64 { return &a.rate }),
	countColumn("streams", maxStreams, func(a *Account) *int64 { return &a.streams }),
	namesColumn("services", func(a *Account) *[]string { return &a.services }),
	namesColumn("homes", func(a *Account) *[]string { return &a.homes }),
}

var serviceColumns = []column[Service]{
	nameColumn("name", func(s *Service) *string { return &s.name }),
	choiceColumn("kind", []string{Generation, Plain}, func(s *Service) *string { return &s.kind }),
	nameColumn("model", func(s *Service) *string { return &s.model }),
	choiceColumn("prefer", []string{PreferSteady, PreferWhole}, func(s *Service) *string { return &s.prefer }),
	countColumn("priority", maxPriority, func(s *Service) *int64 { return &s.priority }),
	countColumn("deadline", maxDeadlineMillis, func(s *Service) *int64 { return &s.deadline }),
	countColumn("max", maxTokens, func(s *Service) *int64 { return &s.max }),
	choiceColumn("repeat", []string{Safe, Never}, func(s *Service) *string { return &s.repeat }),
	numberColumn("hedge", 0, 1, false, func(s *Service) *float64 { return &s.hedge }),
	choiceColumn("move", []string{Yes, No}, func(s *Service) *string { return &s.move }),
	choiceColumn("backup", []string{Yes, No}, func(s *Service) *string { return &s.backup }),
	countColumn("copy", maxBatch, func(s *Service) *int64 { return &s.copy }),
	countColumn("stride", maxBatch, func(s *Service) *int64 { return &s.stride }),
	countColumn("cold", maxDeadlineMillis, func(s *Service) *int64 { return &s.cold }),
	numberColumn("ramp", 0, maxRate, false, func(s *Service) *float64 { return &s.ramp }),
	namesColumn("paths", func(s *Service) *[]string { return &s.paths }),
}

var modelColumns = []column[Model]{
	nameColumn("name", func(m *Model) *string { return &m.name }),
	countColumn("context", maxTokens, func(m *Model) *int64 { return &m.context }),
	countColumn("max", maxTokens, func(m *Model) *int64 { return &m.max }),
}

var upstreamColumns = []column[Upstream]{
	nameColumn("name", func(u *Upstream) *string { return &u.name }),
	choiceColumn("kind", []string{Engine, ServiceHost}, func(u *Upstream) *string { return &u.kind }),
	namesColumn("models", func(u *Upstream) *[]string { return &u.models }),
	namesColumn("services", func(u *Upstream) *[]string { return &u.services }),
	countColumn("memory", maxTokens, func(u *Upstream) *int64 { return &u.memory }),
	countColumn("batch", maxBatch, func(u *Upstream) *int64 { return &u.batch }),
	choiceColumn("orders", []string{OrdersChecked, OrdersIgnored}, func(u *Upstream) *string { return &u.orders }),
}

// setAccountDefaults fills in omitted columns.
func setAccountDefaults(a *Account) {
	if a.weight == 0 {
		a.weight = 1
	}
}

// setServiceDefaults fills in omitted columns. Calls of a plain service are not
// repeated unless the table says that they may be.
func setServiceDefaults(s *Service) {
	if s.kind == "" {
		s.kind = Generation
	}
	if s.prefer == "" {
		s.prefer = PreferSteady
	}
	if s.deadline == 0 {
		s.deadline = defaultDeadlineMillis
	}
	if s.repeat == "" {
		s.repeat = Never
	}
}

// setUpstreamDefaults fills in omitted columns. An upstream is assumed not to
// check the fencing numbers of orders unless the table says that it does.
func setUpstreamDefaults(u *Upstream) {
	if u.kind == "" {
		u.kind = Engine
	}
	if u.orders == "" {
		u.orders = OrdersIgnored
	}
}
