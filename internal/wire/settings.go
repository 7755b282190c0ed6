package wire

import (
	"encoding/json"
	"fmt"

	"starlingusher/choice"
)

type conf struct {
	FleetSize  int `json:"fleetSize"`
	Categories []struct {
		Aim        float64 `json:"aim"`
		AimStretch float64 `json:"aimStretch"`
		Deadline   float64 `json:"deadline"`
		Effect     string  `json:"effect"`
		Group      string  `json:"group"`
		Ordered    bool    `json:"fifoByKey"`
		LateWorth  float64 `json:"lateWorth"`
		Window     float64 `json:"window"`
		Worth      float64 `json:"worth"`
	} `json:"categories"`
	Discovery string `json:"discovery"`
	Domain    struct {
		Decay   string    `json:"decay"`
		Apart   []bool    `json:"separateRoutes"`
		Batch   []int     `json:"kindBatch"`
		Workers int       `json:"workers"`
		Fee     []float64 `json:"feeByZone"`
	} `json:"domain"`
	Limits struct {
		DialTimeout   float64 `json:"dialTimeout"`
		ConnIdle      float64 `json:"connIdle"`
		MaxAttempts   int     `json:"maxAttempts"`
		MaxOpen       int     `json:"maxOpen"`
		MaxRetryAfter float64 `json:"maxRetryAfter"`
		Probes        bool    `json:"probes"`
		Cancel        bool    `json:"cancel"`
		MayDuplicate  bool    `json:"mayDuplicate"`
		RetryAfter    bool    `json:"retryAfter"`
	} `json:"limits"`
	OverShareWorth float64 `json:"overShareWorth"`
	Contract       struct {
		Grace        float64 `json:"graceToAnswer"`
		MustAskIn    float64 `json:"mustAskIn"`
		ColdFrom     float64 `json:"coldFrom"`
		WarmWithin   float64 `json:"warmWithin"`
		StopSending  float64 `json:"stopSendingWithin"`
		FallMultiple float64 `json:"fallMultiple"`
		Fall         float64 `json:"fall"`
		OrderSettle  float64 `json:"orderSettle"`
	} `json:"contract"`
	Customers []struct {
		PerS float64 `json:"allowancePerS"`
	} `json:"customers"`
	Tick    float64 `json:"tick"`
	Weights string  `json:"weights"`
}

var effects = map[string]choice.Effect{
	"idempotent": choice.Safe, "deduplicated": choice.Keyed, "at_most_once": choice.Unsafe,
}

// Settings converts the settings of a Born line.
func Settings(raw json.RawMessage) (choice.Settings, error) {
	var c conf
	if err := json.Unmarshal(raw, &c); err != nil {
		return choice.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := choice.Settings{
		Fleet: c.FleetSize, Slots: c.Domain.Workers, MaxOpen: c.Limits.MaxOpen,
		MaxAttempts: c.Limits.MaxAttempts, MayDuplicate: c.Limits.MayDuplicate, MayProbe: c.Limits.Probes,
		MayCancel: c.Limits.Cancel, AskForList: c.Discovery == "on_request",
		Halves:       c.Domain.Decay == "halves",
		RoughWeights: c.Weights == "rough", Weighted: c.Weights == "rough" || c.Weights == "nominal",
		OverShareWorth: c.OverShareWorth, ZoneFee: c.Domain.Fee, Tick: Time(c.Tick),
		DialTimeout: Time(c.Limits.DialTimeout), ConnIdle: Time(c.Limits.ConnIdle), DrainGrace: Time(c.Contract.StopSending),
		AnswerGrace: Time(c.Contract.Grace), FallMultiple: c.Contract.FallMultiple,
		Fall: Time(c.Contract.Fall), ColdFrom: c.Contract.ColdFrom, WarmWithin: Time(c.Contract.WarmWithin),
		OrderSettle: Time(c.Contract.OrderSettle), MustAsk: Time(c.Contract.MustAskIn),
	}
	if c.Limits.RetryAfter {
		s.MaxRetryAfter = Time(c.Limits.MaxRetryAfter)
	}
	for i, k := range c.Categories {
		effect, ok := effects[k.Effect]
		if !ok {
			return s, fmt.Errorf("settings: class %d has unknown effect %q", i, k.Effect)
		}
		s.Classes = append(s.Classes, choice.Class{
			Aim: Time(k.Aim), AimStretch: k.AimStretch, Deadline: Time(k.Deadline), Worth: k.Worth,
			LateWorth: k.LateWorth, Effect: effect, Window: Time(k.Window), GroupAll: k.Group == "all",
			Ordered: k.Ordered,
		})
	}
	for i := range max(len(c.Domain.Apart), len(c.Domain.Batch)) {
		var k choice.Kind
		if i < len(c.Domain.Apart) {
			k.Apart = c.Domain.Apart[i]
		}
		if i < len(c.Domain.Batch) {
			k.Batch = c.Domain.Batch[i]
		}
		s.Kinds = append(s.Kinds, k)
	}
	for _, t := range c.Customers {
		s.Tenants = append(s.Tenants, choice.Tenant{PerSecond: t.PerS})
	}
	return s, nil
}

// Names are the words that the settings give to classes, tenants, kinds and zones; a word's place is its number.
type Names struct {
	Classes, Tenants, Kinds, Zones []string
}

// SettingsNames reads the names from the settings.
func SettingsNames(raw json.RawMessage) (Names, error) {
	var c struct {
		Categories []struct {
			Name string `json:"name"`
		} `json:"categories"`
		Customers []struct {
			Name string `json:"name"`
		} `json:"customers"`
		Flavors []string `json:"flavors"`
		Zones   []string `json:"failureDomains"`
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return Names{}, fmt.Errorf("settings: %w", err)
	}
	n := Names{Kinds: c.Flavors, Zones: c.Zones}
	for _, k := range c.Categories {
		n.Classes = append(n.Classes, k.Name)
	}
	for _, t := range c.Customers {
		n.Tenants = append(n.Tenants, t.Name)
	}
	return n, nil
}
