package cmds

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/front"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

func newTemplate() *cobra.Command {
	o := new(operator)
	c := &cobra.Command{Use: "template", Short: "Publishes and shows templates of models and services"}
	o.flags(c)
	c.AddCommand(newTemplatePublish(o), newTemplateShow(o), newTemplateDelete(o))
	return c
}

func newTemplatePublish(o *operator) *cobra.Command {
	var edit change
	c := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publishes the template in a TOML file",
		Long: "Publishes the template in a TOML file. The change is accepted only if the template is still at the offset --base; " +
			"without --base the present offset is used.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var t spec.Template
			if err := readTOML(args[0], &t); err != nil {
				return err
			}
			if err := front.CheckName("name", t.Name); err != nil {
				return err
			}
			if err := t.Check(); err != nil {
				return err
			}
			base, err := edit.baseOr(func() (int64, error) { return templateOffset(c, o, t.Name) })
			if err != nil {
				return err
			}
			return edit.send(c, o, http.MethodPut, "/v1/templates/"+t.Name, wire.TemplateChange{
				ChangeID: edit.id, Base: base, Template: t,
			})
		},
	}
	edit.flags(c)
	return c
}

func newTemplateDelete(o *operator) *cobra.Command {
	var edit change
	c := &cobra.Command{
		Use:   "delete NAME",
		Short: "Deletes a template",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			base, err := edit.baseOf("template "+args[0], func() (int64, error) { return templateOffset(c, o, args[0]) })
			if err != nil {
				return err
			}
			return edit.send(c, o, http.MethodDelete, edit.deletion("/v1/templates/", args[0], base), nil)
		},
	}
	edit.flags(c)
	return c
}

func newTemplateShow(o *operator) *cobra.Command {
	return &cobra.Command{
		Use:   "show [NAME]",
		Short: "Shows templates and the offsets at which they were set",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			list, err := templates(c, o)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				list = slices.DeleteFunc(list, func(t wire.TemplateState) bool { return t.Template.Name != args[0] })
				if len(list) == 0 {
					return codes.New(codes.NotFound, "template "+args[0])
				}
			}
			rows := [][]any{{"NAME", "KIND", "OFFSET", "VERSION", "MAX REPLICAS", "ADAPTERS"}}
			for _, t := range list {
				row := []any{t.Template.Name, t.Template.Kind, t.Offset, "-", "-", "-"}
				if m := t.Template.Model; m != nil {
					row = []any{t.Template.Name, t.Template.Kind, t.Offset, m.Version, m.MaxReplicas, len(m.Adapters)}
				}
				rows = append(rows, row)
			}
			return o.print(c.OutOrStdout(), list, rows)
		},
	}
}

func templates(c *cobra.Command, o *operator) ([]wire.TemplateState, error) {
	var list []wire.TemplateState
	err := o.call(c.Context(), http.MethodGet, "/v1/templates", nil, &list)
	return list, err
}

func templateOffset(c *cobra.Command, o *operator, name string) (int64, error) {
	list, err := templates(c, o)
	for _, t := range list {
		if t.Template.Name == name {
			return t.Offset, nil
		}
	}
	return 0, err
}

// change holds the flags of commands that change configuration.
type change struct {
	base int64
	id   string
}

func (e *change) flags(c *cobra.Command) {
	c.Flags().Int64Var(&e.base, "base", -1, "offset of the version to change; 0 for a new one; negative for the present offset")
	c.Flags().StringVar(&e.id, "change-id", "", "id of the change; repeat it to send the same change again")
}

func (e *change) baseOr(present func() (int64, error)) (int64, error) {
	if e.base >= 0 {
		return e.base, nil
	}
	return present()
}

// baseOf returns the base of a deletion; without a present version there is nothing to delete.
func (e *change) baseOf(what string, present func() (int64, error)) (int64, error) {
	base, err := e.baseOr(present)
	if err == nil && e.base < 0 && base == 0 {
		err = codes.New(codes.NotFound, what)
	}
	return base, err
}

func (e *change) deletion(prefix, name string, base int64) string {
	q := url.Values{"base": {fmt.Sprint(base)}}
	if e.id != "" {
		q.Set("changeId", e.id)
	}
	return prefix + url.PathEscape(name) + "?" + q.Encode()
}

func (e *change) send(c *cobra.Command, o *operator, method, path string, body any) error {
	var done wire.Change
	if err := o.call(c.Context(), method, path, body, &done); err != nil {
		return err
	}
	return o.print(c.OutOrStdout(), done, [][]any{{"accepted at offset", done.Offset}})
}
