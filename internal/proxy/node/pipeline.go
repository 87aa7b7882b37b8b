package node

import "github.com/figwick/figwick/internal/proxy/pipe"

// newPipeline returns what starts callers' pipelined requests at the ingress.
func (n *Node) newPipeline() *pipe.Pipeline {
	return pipe.New(pipe.Config{
		Ingress: n.front, Depth: n.pipelineDepth, Started: n.meter.Early, Canceled: n.meter.EarlyCanceled,
	})
}

// pipelineDepth returns how many pipelined requests of one connection may be in progress at
// once.
func (n *Node) pipelineDepth() int {
	if table := n.front.Table(); table != nil && table.Intake.PipelineDepth > 0 {
		return table.Intake.PipelineDepth
	}
	return n.config.PipelineDepth
}
