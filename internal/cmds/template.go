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
	o := new(operatorClient)
	c := &cobra.Command{Use: "template", Short: "Publishes, shows and deletes templates of models and services"}
	o.addFlags(c)
	c.AddCommand(newTemplatePublish(o), newTemplateShow(o), newTemplateDelete(o))
	return c
}

func newTemplatePublish(o *operatorClient) *cobra.Command {
	var change changeFlags
	c := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publishes the template in a TOML file",
		Long: "Publishes the template in a TOML file. The change is accepted only if the template is still at the offset --base; " +
			"without --base the current offset is used.",
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
			base, err := change.baseOffset(func() (int64, error) { return templateOffset(c, o, t.Name) })
			if err != nil {
				return err
			}
			return change.send(c, o, http.MethodPut, "/v1/templates/"+t.Name, wire.TemplateChange{
				ChangeID: change.id, Base: base, Template: t,
			})
		},
	}
	change.addFlags(c)
	return c
}

func newTemplateDelete(o *operatorClient) *cobra.Command {
	var change changeFlags
	c := &cobra.Command{
		Use:   "delete NAME",
		Short: "Deletes a template",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			base, err := change.deletionBase("template "+args[0], func() (int64, error) { return templateOffset(c, o, args[0]) })
			if err != nil {
				return err
			}
			return change.send(c, o, http.MethodDelete, change.deletionPath("/v1/templates/", args[0], base), nil)
		},
	}
	change.addFlags(c)
	return c
}

func newTemplateShow(o *operatorClient) *cobra.Command {
	return &cobra.Command{
		Use:   "show [NAME]",
		Short: "Shows templates and the offsets at which they were set",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			list, err := listTemplates(c, o)
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

func listTemplates(c *cobra.Command, o *operatorClient) ([]wire.TemplateState, error) {
	var list []wire.TemplateState
	err := o.call(c.Context(), http.MethodGet, "/v1/templates", nil, &list)
	return list, err
}

// templateOffset returns the offset at which the template was last set, or 0 if the template does not exist.
func templateOffset(c *cobra.Command, o *operatorClient, name string) (int64, error) {
	list, err := listTemplates(c, o)
	for _, t := range list {
		if t.Template.Name == name {
			return t.Offset, nil
		}
	}
	return 0, err
}

// changeFlags holds the flags shared by commands that change the configuration.
type changeFlags struct {
	base int64
	id   string
}

func (f *changeFlags) addFlags(c *cobra.Command) {
	c.Flags().Int64Var(&f.base, "base", -1, "offset of the version to replace; 0 to create one; negative for the current offset")
	c.Flags().StringVar(&f.id, "change-id", "", "id of the change; use the same id to retry a change")
}

// baseOffset returns the offset given by --base, or the current offset without it.
func (f *changeFlags) baseOffset(current func() (int64, error)) (int64, error) {
	if f.base >= 0 {
		return f.base, nil
	}
	return current()
}

// deletionBase returns the base offset of a deletion, or a NotFound error if no version exists.
func (f *changeFlags) deletionBase(resource string, current func() (int64, error)) (int64, error) {
	base, err := f.baseOffset(current)
	if err == nil && f.base < 0 && base == 0 {
		err = codes.New(codes.NotFound, resource)
	}
	return base, err
}

// deletionPath returns the path and query of a deletion.
func (f *changeFlags) deletionPath(prefix, name string, base int64) string {
	q := url.Values{"base": {fmt.Sprint(base)}}
	if f.id != "" {
		q.Set("changeId", f.id)
	}
	return prefix + url.PathEscape(name) + "?" + q.Encode()
}

func (f *changeFlags) send(c *cobra.Command, o *operatorClient, method, path string, body any) error {
	var accepted wire.Change
	if err := o.call(c.Context(), method, path, body, &accepted); err != nil {
		return err
	}
	return o.print(c.OutOrStdout(), accepted, [][]any{{"accepted at offset", accepted.Offset}})
}
